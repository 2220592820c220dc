import type { BackendServerProbe } from "../../health/backend_server_probe.ts";
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random_source.ts";
import type { Timers } from "../../runtime/timers.ts";

/** The options of `createFakeBackendServer`. */
export interface FakeBackendServerOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly random: RandomSource;
  /** The maximum number of concurrent calls when warm. */
  readonly slots: number;
  /** The maximum number of concurrent calls immediately after a start. */
  readonly coldSlots: number;
  /** The mean service time when warm and without contention. */
  readonly serviceMilliseconds: number;
  /** The factor by which calls are slower at the beginning of a cold start. */
  readonly coldSlowdown: number;
  /** The number of answered calls after which the capacity rises by one during a cold start. */
  readonly warmingCalls: number;
  /** The number of concurrent calls above which contention slows each call down. */
  readonly kneeSlots: number;
  /**
   * The exponent of the slowdown above `kneeSlots`. With 1 the throughput stays
   * constant, with 2 it decreases.
   */
  readonly crowdingPower: number;
  /** The number of shed calls within one second that crash a cold server. */
  readonly fallSheds: number;
  /** How long the server refuses connections after a crash. */
  readonly restartMilliseconds: number;
  /** How long a cancelled call keeps running. */
  readonly letGoMilliseconds: number;
  /** The network delay in each direction. */
  readonly oneWayMilliseconds: number;
  /** The round-trip time of a probe. The probe reports the state at half of it. */
  readonly probeMilliseconds: number;
  /** Maps the actual state to the one that the health endpoint reports. Defaults to the actual state. */
  readonly report?: (
    state: BackendServerProbe["reportedState"],
  ) => BackendServerProbe["reportedState"];
}
