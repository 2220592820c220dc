import type { SourcePosition } from "./source_position.ts";

const positionPattern = /^(\d{1,15})\.(\d{1,15})$/;

/** Parses a position of the form `ERA.REVISION`; returns undefined if the text has another form. */
export function tryParseSourcePosition(
  text: string,
): SourcePosition | undefined {
  const [, era, revision] = positionPattern.exec(text) ?? [];
  return era === undefined || revision === undefined
    ? undefined
    : { era: Number(era), revision: Number(revision) };
}
