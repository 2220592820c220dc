import type { KnownRedEntry } from "./known_red_entry.ts";

const separator = " | ";

/**
 * Returns the entries of KNOWN-RED.txt. A line has the form `title | note`; a
 * line that begins with `#` is a comment.
 */
export function parseKnownRed(text: string): readonly KnownRedEntry[] {
  return text
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => {
      const [title = "", ...note] = line.split(separator);
      return { title: title.trim(), note: note.join(separator).trim() };
    });
}
