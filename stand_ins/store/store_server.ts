import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { StoreFault } from "./store_fault.ts";

/** A running stand-in for the platform's store. */
export interface StoreServer {
  readonly address: NetworkAddress;
  /** Stores a value: a string unchanged, anything else as JSON. */
  put(key: string, value: unknown): void;
  remove(key: string): void;
  /** Discards the history of changes; a watch after an earlier revision then receives status 410. */
  compact(): void;
  /** Returns to the state of an earlier moment, as after a restore from a copy: later changes are lost, and their revisions are assigned again. */
  restoreCopy(options: { readonly ageMilliseconds: number }): void;
  /** Replaces the fault; any other than `None` also closes the waiting watches. */
  setFault(fault: StoreFault): void;
  /** Returns the number of requests received so far. */
  getReadCount(): number;
  close(): Promise<void>;
}
