/** A host and port that a listener is bound to or a client connects to. */
export interface NetworkAddress {
  /** An IP number, for example `127.0.0.1`. */
  readonly host: string;
  /** A TCP port from 1 to 65535; 0 asks the system for a free port when binding. */
  readonly port: number;
}
