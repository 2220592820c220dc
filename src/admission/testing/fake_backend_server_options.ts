import type { BackendServerProbe } from "../../health/backend_server_probe.ts";
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random_source.ts";
import type { Timers } from "../../runtime/timers.ts";

/** How a fake backend server behaves. */
export interface FakeBackendServerOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly slots: number;
  /** How many calls it bears at once when it has just started. */
  readonly coldSlots: number;
  /** The mean time of one call when warm. */
  readonly serviceMilliseconds: number;
  /** How many times longer a call takes at the beginning of a cold start. */
  readonly coldSlowdown: number;
  /** How many answered calls let it bear one call more, while it is cold. */
  readonly warmingCalls: number;
  /** Above this many calls at once, each takes longer. */
  readonly kneeSlots: number;
  /** The power with which calls above the knee slow each other down; 1 keeps the throughput, 2 lowers it. */
  readonly crowdingPower: number;
  /** How many sheds within one second make a cold server fall over. */
  readonly fallSheds: number;
  /** How long it refuses connections after it fell over. */
  readonly restartMilliseconds: number;
  /** How long it goes on with a call that was cancelled. */
  readonly letGoMilliseconds: number;
  readonly oneWayMilliseconds: number;
  /** How long a probe takes; it is answered from the state half way. */
  readonly probeMilliseconds: number;
  /** Makes the health endpoint mislead. */
  readonly report?: (
    state: BackendServerProbe["reportedState"],
  ) => BackendServerProbe["reportedState"];
}
