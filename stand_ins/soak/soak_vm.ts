import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { Relay } from "../relay/relay.ts";
import type { SoakBackend } from "./soak_backend.ts";
import type { SoakNode } from "./soak_node.ts";

/** A VM of the soak: a backend server and the real program beside it. */
export interface SoakVm {
  readonly zone: string;
  readonly backend: SoakBackend;
  readonly node: SoakNode;
  /** Where callers on this VM send their requests. */
  readonly callers: NetworkAddress;
  /** Other nodes reach this one through it. */
  readonly nodesRelay: Relay;
  /** The node reaches the store through it. */
  readonly storeRelay: Relay;
  /** Publishes the backend server's entry, as its heartbeats do. */
  beat(state: "ready" | "draining"): void;
}
