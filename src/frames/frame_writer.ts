import type { FrameKind } from "./frame_kind.ts";

/** Writes frames to a connection, those of one turn of the event loop together. */
export interface FrameWriter {
  /** The payload may consist of several parts. */
  write(
    frame: { readonly kind: FrameKind; readonly offer: number },
    payload?: readonly Buffer[],
  ): void;
  /** Discards an offer that was not written yet; returns whether there was one. */
  tryWithdraw(offer: number): boolean;
}
