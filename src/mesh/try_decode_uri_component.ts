/** Decodes a URI component; undefined if it is malformed. */
export function tryDecodeUriComponent(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
