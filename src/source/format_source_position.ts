import type { SourcePosition } from "./source_position.ts";

/** Formats a position as `ERA.REVISION`, the form in which nodes send it to each other. */
export function formatSourcePosition(
  { era, revision }: SourcePosition,
): string {
  return `${era}.${revision}`;
}
