import type { LimitController } from "./limit_controller.ts";
import type { QueueOrder } from "./queue_order.ts";

/** The algorithms and parameters of the admission. */
export interface AdmissionPolicy {
  readonly limitController: LimitController;
  readonly queueOrder: QueueOrder;
  /**
   * Whether the limit rises step by step from the cold slots. If false, every
   * slot is available from the start.
   */
  readonly coldStartRamp: boolean;
  /** Whether a backend server goes through a cold start when it or its zone returns to service. */
  readonly coldStartOnReturn: boolean;
  /** The maximum length of the queue. */
  readonly queuedCalls: number;
  /** The interval between probes, unless lingering slots require an earlier one. */
  readonly probeIntervalMilliseconds: number;
  readonly probeTimeoutMilliseconds: number;
  /** The minimum interval between two probes while lingering slots leave no free slot. */
  readonly lingeringProbeIntervalMilliseconds: number;
  /** How long a lingering slot stays occupied if no probe shows that its call has ended. */
  readonly lingeringMilliseconds: number;
  /** The factor by which the limit is multiplied on overload (0 to 1). */
  readonly decreaseFactor: number;
  /** The minimum number of answered calls between two steps of the cold-start ramp. */
  readonly rampStepAnswers: number;
  /** The minimum time between two steps of the cold-start ramp. */
  readonly rampStepMilliseconds: number;
  /**
   * Replaces `rampStepMilliseconds` while the calls do not fill the limit, the
   * backend server reports that it is cold, or its calls are slower than
   * `slowRampServiceTimeFactor` allows.
   */
  readonly slowRampStepMilliseconds: number;
  /** The multiple of the baseline service time above which the ramp takes slow steps. */
  readonly slowRampServiceTimeFactor: number;
  /**
   * If a call is shed while at most this share of the slots (0 to 1) is
   * occupied, the backend server is in cold start again.
   */
  readonly coldStartOccupancy: number;
  /** The multiple of the baseline service time above which the backend server is in cold start again. */
  readonly coldStartServiceTimeFactor: number;
  /** The number of consecutive failed probes after which the backend server is down. */
  readonly downProbeFailures: number;
  /** The backoff after the first failure of a backend server. */
  readonly initialBackoffMilliseconds: number;
  readonly maximumBackoffMilliseconds: number;
  /**
   * The mean retry delay if capacity is not the reason for the refusal, or
   * while the service rate is unknown.
   */
  readonly defaultRetryMilliseconds: number;
  /** The maximum retry delay that is derived from the service rate, before jitter. */
  readonly maximumRetryMilliseconds: number;
}
