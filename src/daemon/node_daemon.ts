import type { NetworkAddress } from "../runtime/network_address.ts";

/** A node running in this process. */
export interface NodeDaemon {
  readonly addresses: {
    readonly callers: NetworkAddress;
    readonly nodes: NetworkAddress;
    readonly operators: NetworkAddress;
  };
  /**
   * Shuts down gracefully: refuses new calls as not run and finishes running
   * ones. Resolves with the number of calls aborted, which is above 0 only if
   * the drain deadline passed or `abort` was called.
   */
  stop(): Promise<number>;
  /** Makes a `stop` in progress finish immediately, which aborts running calls. */
  abort(): void;
}
