import type { ControlClient } from "../peers/control_client.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { ControlDelivery } from "./control_delivery.ts";
import type { ControlHandler } from "./control_handler.ts";
import type { ControlMessage } from "./control_message.ts";

/** Delivers control messages between nodes in one process; a script can lose, delay, repeat or replace them. */
export interface ControlNetwork {
  /** Registers the handler of the node at an address, in place of an earlier one. */
  listen(address: NetworkAddress, handler: ControlHandler): void;
  /** Closes the listener at an address: later connections to it are refused. */
  close(address: NetworkAddress): void;
  /** Returns the client of the node at an address. */
  createClient(address: NetworkAddress): ControlClient;
  /** Sets the script that decides on the delivery of every later message; omitted fields keep their default. */
  setScript(
    script: (message: ControlMessage) => Partial<ControlDelivery>,
  ): void;
  /** Splits the network into groups of addresses that cannot reach each other; an empty list ends the partition. */
  partition(groups: readonly (readonly NetworkAddress[])[]): void;
  /** Returns every message sent so far, delivered or not. */
  getSentMessages(): readonly ControlMessage[];
}
