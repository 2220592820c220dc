import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { StoreFault } from "./store_fault.ts";

/** A stand-in for the platform's store. */
export interface StoreServer {
  readonly address: NetworkAddress;
  /** Writes a value; an object as JSON, a text as it is. */
  put(key: string, value: unknown): void;
  remove(key: string): void;
  /** Forgets all changes before now: watches that continue from before are told so. */
  compact(): void;
  setFault(fault: StoreFault): void;
  /** Reading calls so far. */
  getReads(): number;
  close(): Promise<void>;
}
