import { createByteCollector } from "./create_byte_collector.ts";

const lineFeed = 0x0a;

/**
 * Creates a function that receives bytes in parts and calls `onLine` for each
 * complete line, without its line feed. It returns false, and has to be called
 * no more, once a line exceeds `bytesMaximum` bytes.
 */
export function createLineSplitter(
  options: {
    readonly bytesMaximum: number;
    readonly onLine: (line: string) => void;
  },
): (part: Buffer) => boolean {
  const { bytesMaximum, onLine } = options;
  const collector = createByteCollector();

  return (part) => {
    let start = 0;
    // A loop, since the number of lines is not known beforehand.
    while (start < part.byteLength) {
      const found = part.indexOf(lineFeed, start);
      const end = found < 0 ? part.byteLength : found;
      collector.add(part.subarray(start, end));
      if (collector.getLength() > bytesMaximum) return false;
      if (found >= 0) {
        const line = collector.concatenate().toString();
        collector.clear();
        onLine(line);
      }
      start = end + 1;
    }
    return true;
  };
}
