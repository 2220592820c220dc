import type { Buffer } from "node:buffer";

/** Lines that are not written yet, up to a number of bytes. */
export interface LineBuffer {
  /** Appends a line; counts it as dropped if it does not fit. */
  append(line: string): void;
  /** Returns the number of bytes buffered. */
  getBytes(): number;
  /** Returns the oldest block without removing it; it is empty if nothing is buffered. */
  peek(): Buffer;
  /** Removes the first `written` bytes of the oldest block. */
  remove(written: number): void;
  /** Adds to the number of lines dropped. */
  countDropped(count: number): void;
  /** Returns the number of lines dropped since the previous call. */
  takeDropped(): number;
}
