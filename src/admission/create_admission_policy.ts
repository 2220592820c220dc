import type { NodeSettings } from "../daemon/node_settings.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";
import { LimitController } from "./limit_controller.ts";
import { QueueOrder } from "./queue_order.ts";

/** Creates the default admission policy for a node's settings. */
export function createAdmissionPolicy(settings: NodeSettings): AdmissionPolicy {
  const probeIntervalMilliseconds = settings.timing.probeIntervalMilliseconds;
  return {
    limitController: LimitController.StepBack,
    queueOrder: QueueOrder.PriorityThenDeadline,
    coldStartRamp: true,
    coldStartOnReturn: true,
    queuedCalls: settings.limits.queuedCalls,
    probeIntervalMilliseconds,
    probeTimeoutMilliseconds: Math.min(1_000, probeIntervalMilliseconds),
    lingeringProbeIntervalMilliseconds: 20,
    lingeringMilliseconds: 5_000,
    decreaseFactor: 0.7,
    rampStepAnswers: 10,
    rampStepMilliseconds: 250,
    slowRampStepMilliseconds: 1_000,
    slowRampServiceTimeFactor: 1.5,
    coldStartOccupancy: 0.5,
    coldStartServiceTimeFactor: 3,
    downProbeFailures: 3,
    initialBackoffMilliseconds: 100,
    maximumBackoffMilliseconds: 5_000,
    defaultRetryMilliseconds: 1_000,
    maximumRetryMilliseconds: 10_000,
  };
}
