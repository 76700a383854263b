package org.jasminehub.core.operation;

/**
 * The response of a service to an operation.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body, or empty if there is none
 * @param body the body; the array is not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record OperationResult(int status, String contentType, byte[] body) {}
