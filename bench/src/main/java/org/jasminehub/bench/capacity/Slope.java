package org.jasminehub.bench.capacity;

/** One measured figure with its unit. */
record Slope(String what, double figure, String unit) {}
