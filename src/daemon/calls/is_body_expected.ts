const statusNoContent = 204;
const statusNotModified = 304;

/** Returns whether a response with the status to a request with the method has a body (RFC 9112, section 6.3). */
export function isBodyExpected(method: string, status: number): boolean {
  return method !== "HEAD" && status !== statusNoContent &&
    status !== statusNotModified;
}
