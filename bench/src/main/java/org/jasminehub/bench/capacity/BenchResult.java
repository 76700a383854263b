package org.jasminehub.bench.capacity;

/** A measured value with its label and unit. */
record BenchResult(String label, double value, String unit) {}
