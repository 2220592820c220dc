import type { LimitController } from "./limit_controller.ts";
import type { QueueOrder } from "./queue_order.ts";

/** The figures that the admission decides by. Spans become deadlines where they are used. */
export interface AdmissionPolicy {
  readonly limitController: LimitController;
  readonly queueOrder: QueueOrder;
  /** Without the ramp every slot is open from the start. */
  readonly coldStartRamp: boolean;
  /** Whether a zone or backend server that returns to service starts as from a cold start. */
  readonly returnRamp: boolean;
  readonly queuedCalls: number;
  readonly probeIntervalMilliseconds: number;
  readonly probeTimeoutMilliseconds: number;
  /** The least time between two probes while given-up calls hold slots that others wait for. */
  readonly lingeringProbeIntervalMilliseconds: number;
  /** How long a given-up call may hold its slot without proof that it has ended. */
  readonly lingeringMilliseconds: number;
  /** What the limit is multiplied by when the backend server sheds or breaks a call. */
  readonly decreaseFactor: number;
  /** The least number of answered calls between two steps of the cold-start ramp. */
  readonly rampStepAnswers: number;
  /** The least time between two steps of the cold-start ramp. */
  readonly rampStepMilliseconds: number;
  /**
   * As `rampStepMilliseconds`, while the calls do not fill the limit, the
   * backend server says that it is cold, or it is slower than usual.
   */
  readonly cautiousStepMilliseconds: number;
  /** How many times the usual service time makes the ramp cautious. */
  readonly cautiousSlowdown: number;
  /** A shed while at most this part of the slots is occupied (0 to 1) counts as a relapse into cold start. */
  readonly relapseOccupancy: number;
  /** How many times the usual service time counts as a relapse into cold start. */
  readonly relapseSlowdown: number;
  /** How many probes in a row must fail before the backend server counts as down. */
  readonly downProbeFailures: number;
  readonly initialBackoffMilliseconds: number;
  readonly maximumBackoffMilliseconds: number;
  /** When to come back where no service rate says so. */
  readonly defaultRetryMilliseconds: number;
  readonly maximumRetryMilliseconds: number;
}
