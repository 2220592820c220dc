import type { Socket } from "node:net";
import type { Frame } from "../../frames/frame.ts";
import type { FrameKind } from "../../frames/frame_kind.ts";

/** The side of a test on an offer connection to a node. */
export interface OfferPeer {
  readonly socket: Socket;
  /** The frames that arrived, in order. */
  readonly frames: readonly Frame[];
  send(kind: FrameKind, offer: number, payload?: readonly Buffer[]): void;
  /** Offers a GET of `/cakes/1` with 3 seconds left. */
  offerCall(offer: number, callIdentifier: string): void;
  /** Returns the bytes of the answer to an offer that have arrived. */
  getAnswerBytes(offer: number): number;
  /** Whether a frame of a kind has arrived for an offer. */
  hasFrame(kind: FrameKind, offer: number): boolean;
}
