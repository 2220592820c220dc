import type { ControlClient } from "../peers/control_client.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { ControlDelivery } from "./control_delivery.ts";
import type { ControlHandler } from "./control_handler.ts";
import type { ControlMessage } from "./control_message.ts";

/** Delivers control messages between nodes in one process, as a script says. */
export interface ControlNetwork {
  /** Lets a node answer at an address; replaces the node that did so before. */
  listen(address: NetworkAddress, handler: ControlHandler): void;
  /** Ends a node's listener: connections to it are refused from now on. */
  close(address: NetworkAddress): void;
  /** Returns the client of the node at an address. */
  createClient(address: NetworkAddress): ControlClient;
  /** Decides about every message from now on; fields left out keep their usual value. */
  setScript(
    script: (message: ControlMessage) => Partial<ControlDelivery>,
  ): void;
  /** Splits the network into groups of addresses that do not hear each other; an empty list heals it. */
  partition(groups: readonly (readonly NetworkAddress[])[]): void;
  /** Every message sent so far, delivered or not. */
  getSent(): readonly ControlMessage[];
}
