/** Returns the code of an error of Node.js or undici, or the empty text. */
export function getErrorCode(error: unknown): string {
  const code = typeof error === "object" && error !== null && "code" in error
    ? error.code
    : undefined;
  return typeof code === "string" ? code : "";
}
