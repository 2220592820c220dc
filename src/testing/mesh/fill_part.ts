import { endlessBytesLimits } from "./endless_bytes_limits.ts";

/** Repeats a text up to the size of the part that is sent again and again. */
export function fillPart(text: string): string {
  return text.repeat(Math.ceil(endlessBytesLimits.partBytes / text.length));
}
