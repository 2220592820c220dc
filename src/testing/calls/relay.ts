import type { NetworkAddress } from "../../runtime/network_address.ts";

/** A TCP relay in front of a listener; it forwards everything until a fault is switched on. */
export interface Relay {
  readonly address: NetworkAddress;
  /** Stops forwarding on the connections that are open now, without closing them; new connections work. */
  stallOpenConnections(): void;
  /** Forwards requests but drops responses, on open and new connections. */
  dropResponses(): void;
  /** Closes a connection, open or new, as soon as a response arrives on it. */
  closeOnResponse(): void;
  /** Buffers requests on open and new connections until they are released. */
  bufferRequests(): void;
  /** Forwards the buffered requests and resumes normal forwarding. */
  releaseRequests(): void;
  close(): Promise<void>;
}
