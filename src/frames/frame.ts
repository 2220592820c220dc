import type { FrameKind } from "./frame_kind.ts";

/** One message on an offer connection. */
export interface Frame {
  readonly kind: FrameKind;
  /** Number of the offer on its connection; 0 for the connection itself. */
  readonly offer: number;
  readonly payload: Buffer;
}
