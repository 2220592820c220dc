const statusNoContent = 204;
const statusNotModified = 304;

/** Tells whether an answer to the method with the status has a body (RFC 9112, section 6.3). */
export function isBodyExpected(method: string, status: number): boolean {
  return method !== "HEAD" && status !== statusNoContent &&
    status !== statusNotModified;
}
