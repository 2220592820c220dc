/** Whether decoded JSON is a list of headers as alternating names and values. */
export function isHeaderList(input: unknown): input is readonly string[] {
  return Array.isArray(input) && input.length % 2 === 0 &&
    input.every((text) => typeof text === "string");
}
