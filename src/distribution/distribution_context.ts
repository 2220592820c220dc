import type { NodeSettings } from "../daemon/node_settings.ts";
import type { RandomSource } from "../runtime/random_source.ts";

/** The input of a distribution step besides the state and the event. */
export interface DistributionContext {
  /** The current instant, in milliseconds since the Unix epoch. */
  readonly now: number;
  readonly random: RandomSource;
  readonly settings: NodeSettings;
}
