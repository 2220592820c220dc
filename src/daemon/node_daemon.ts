import type { NetworkAddress } from "../runtime/network_address.ts";

/** A node that runs in this process. */
export interface NodeDaemon {
  readonly addresses: {
    readonly callers: NetworkAddress;
    readonly nodes: NetworkAddress;
    readonly operators: NetworkAddress;
  };
  /**
   * Shuts down gracefully: refuses new calls as not run, finishes what runs,
   * and then ends. Resolves with the number of calls cut, which is above 0 only
   * where the drain deadline passed or `abort` was called.
   */
  stop(): Promise<number>;
  /** Ends a running `stop` at once. */
  abort(): void;
}
