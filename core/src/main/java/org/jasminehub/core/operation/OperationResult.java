package org.jasminehub.core.operation;

/**
 * What a service answered to an operation.
 *
 * @param status the HTTP status
 * @param contentType the body's media type, empty where there is none
 * @param body the bytes of the body, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record OperationResult(int status, String contentType, byte[] body) {}
