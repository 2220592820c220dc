import type { Version } from "../../src/configuration/version.ts";
import type { ControlMessage } from "../../src/testing/control_message.ts";
import type { ControlDelivery } from "../../src/testing/control_delivery.ts";
import type { DistributionFleet } from "../../src/testing/distribution_fleet.ts";

/** A handful of nodes with the distribution, a platform and a network, in virtual time. */
export interface FleetSimulation {
  readonly fleet: DistributionFleet;
  readonly zones: number;
  /** Every version put in force on a VM, over all its starts, in order. */
  readonly history: Map<string, Version[]>;
  /** The one reader that still reaches the platform, where a scenario has cut the others off. */
  connectedReader: string | undefined;
  /** What delivers messages; a rule that returns undefined leaves it to the next. */
  readonly rules: ((
    message: ControlMessage,
  ) => Partial<ControlDelivery> | undefined)[];
}
