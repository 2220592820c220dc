import type { FrameKind } from "./frame_kind.ts";

/** Writes frames to a connection, those of one turn of the event loop together. */
export interface FrameWriter {
  /**
   * The payload may consist of several parts. `onWritten` is called when the
   * frame has been passed to the system, or never will be.
   */
  write(
    frame: {
      readonly kind: FrameKind;
      readonly offer: number;
      readonly onWritten?: () => void;
    },
    payload?: readonly Buffer[],
  ): void;
  /** Discards an offer that was not written yet; returns whether there was one. */
  tryWithdraw(offer: number): boolean;
}
