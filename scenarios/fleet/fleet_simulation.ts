import type { Version } from "../../src/configuration/version.ts";
import type { ControlMessage } from "../../src/testing/control_message.ts";
import type { ControlDelivery } from "../../src/testing/control_delivery.ts";
import type { DistributionFleet } from "../../src/testing/distribution_fleet.ts";

/** A simulation of nodes that run only the distribution, with a platform and a network, in virtual time. */
export interface FleetSimulation {
  readonly fleet: DistributionFleet;
  readonly zones: number;
  /** The versions that earlier incarnations of a VM's node put in force, in order, by VM. */
  readonly history: Map<string, Version[]>;
  /** The only reader that can reach the platform, if a scenario has cut off the others. */
  connectedReader: string | undefined;
  /** Delivery rules of the network, in order; a rule that returns undefined leaves the message to the next rule. */
  readonly rules: ((
    message: ControlMessage,
  ) => Partial<ControlDelivery> | undefined)[];
}
