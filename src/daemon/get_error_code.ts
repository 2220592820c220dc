/** Returns the code of an error of Node.js or undici, or an empty string if it has none. */
export function getErrorCode(error: unknown): string {
  const code = typeof error === "object" && error !== null && "code" in error
    ? error.code
    : undefined;
  return typeof code === "string" ? code : "";
}
