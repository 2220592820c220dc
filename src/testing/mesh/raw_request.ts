import type { Socket } from "node:net";

/** A request as a server on plain sockets reads it. */
export interface RawRequest {
  readonly socket: Socket;
  /** The request line and the headers, without the empty line that ends them. */
  readonly head: string;
}
