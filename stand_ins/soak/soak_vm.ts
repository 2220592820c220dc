import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { Relay } from "../relay/relay.ts";
import type { SoakBackend } from "./soak_backend.ts";
import type { SoakNode } from "./soak_node.ts";

/** A VM of a soak: a backend server stand-in and the real node program beside it. */
export interface SoakVm {
  readonly zone: string;
  /** The service of its node. */
  readonly service: string;
  readonly backend: SoakBackend;
  readonly node: SoakNode;
  /** The address to which callers on this VM send their requests. */
  readonly callers: NetworkAddress;
  /** The relay through which other nodes reach this node. */
  readonly nodesRelay: Relay;
  /** The relay through which the node reaches the store. */
  readonly storeRelay: Relay;
  /** Publishes the backend server's entry in the store, as each heartbeat does. */
  publishHeartbeat(state: "ready" | "draining"): void;
}
