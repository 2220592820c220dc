/** A host and port that a listener binds to or a client connects to. */
export interface NetworkAddress {
  /** An IP address, for example `127.0.0.1`. */
  readonly host: string;
  /** A TCP port from 1 to 65535; 0 requests a free port from the operating system when binding. */
  readonly port: number;
}
