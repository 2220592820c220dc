import { LimitController } from "../../src/admission/limit_controller.ts";
import { QueueOrder } from "../../src/admission/queue_order.ts";
import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import { CallPriority } from "../../src/configuration/call_priority.ts";
import { ZoneState } from "../../src/configuration/zone_state.ts";
import type { CallerClass } from "./caller_class.ts";
import type { Comparison } from "./comparison.ts";
import { registeredCapacity } from "./registered_capacity.ts";
import type { RunOptions } from "./run_options.ts";

/** Instants of the events of a run, relative to its start. */
const changeAtMilliseconds = 15_000;
const returnAtMilliseconds = 25_000;
const runMilliseconds = 45_000;
/** A backend server that accepts one more concurrent call after each answer, and is therefore warm after ten. */
const quickWarmUp = { warmingCalls: 1 };
/** A backend server that accepts one more concurrent call after every 30 answers and starts at a third of its speed. */
const slowWarmUp = { warmingCalls: 30, coldSlowdown: 3 };
const neverCrashes = { fallSheds: Number.POSITIVE_INFINITY };

/** Returns the caller classes of one backend server, which handles 300 calls a second when warm. */
function createClasses(callsPerSecond: number): readonly CallerClass[] {
  return [
    {
      name: "checkout",
      priority: CallPriority.High,
      callsPerSecond: callsPerSecond * 0.2,
      deadlineMilliseconds: 1_000,
      abandoned: 0.3,
    },
    {
      name: "catalogue",
      priority: CallPriority.Normal,
      callsPerSecond: callsPerSecond * 0.5,
      deadlineMilliseconds: 800,
      abandoned: 0.6,
    },
    {
      name: "schedule",
      priority: CallPriority.Low,
      callsPerSecond: callsPerSecond * 0.3,
      deadlineMilliseconds: 600,
      abandoned: 0.6,
    },
  ];
}

const defaultOptions = {
  runMilliseconds,
  classes: createClasses(260),
  events: [],
};
const relapseEvents: RunOptions["events"] = [
  {
    atMilliseconds: changeAtMilliseconds,
    run: ({ server }) => server.returnToColdStart(),
  },
];
const halvedSlotsEvents: RunOptions["events"] = [
  {
    atMilliseconds: changeAtMilliseconds,
    run: ({ server }) => server.setSlots(6),
  },
  {
    atMilliseconds: returnAtMilliseconds,
    run: ({ server }) => server.setSlots(12),
  },
];
const zoneReturnsWarmEvents: RunOptions["events"] = [
  {
    atMilliseconds: changeAtMilliseconds,
    run: ({ runtime }) =>
      runtime.applySnapshot(
        createTestSnapshot({
          ...registeredCapacity,
          zoneState: ZoneState.TakenOut,
        }),
      ),
  },
  {
    atMilliseconds: returnAtMilliseconds,
    run: ({ runtime }) =>
      runtime.applySnapshot(createTestSnapshot(registeredCapacity)),
  },
];
const zoneReturnsColdEvents: RunOptions["events"] = [
  ...zoneReturnsWarmEvents,
  ...relapseEvents,
];
const reportsReady = { report: () => "ready" as const };
const reportsCold = { report: () => "cold" as const };

/** The comparisons of admission policies with their baselines. */
export const comparisons: readonly Comparison[] = [
  {
    name: "queue order",
    variants: [
      { name: "priority, deadline", policy: {} },
      {
        name: "first come",
        policy: { queueOrder: QueueOrder.FirstInFirstOut },
      },
    ],
    scenarios: [1, 1.5, 3].map((factor) => ({
      name: `load ${factor} times the capacity`,
      options: {
        ...defaultOptions,
        classes: createClasses(300 * factor),
        server: quickWarmUp,
        countFromMilliseconds: 5_000,
      },
    })),
  },
  {
    name: "given-up calls",
    variants: [
      { name: "hold until let go", policy: {} },
      {
        name: "hold until the next usual probe",
        policy: {
          lingeringProbeIntervalMilliseconds: Number.POSITIVE_INFINITY,
        },
      },
      { name: "free at once", policy: { lingeringMilliseconds: 0 } },
    ],
    scenarios: [10, 100, 400].map((letGoMilliseconds) => ({
      name: `the server goes on for ${letGoMilliseconds} ms`,
      options: {
        ...defaultOptions,
        classes: createClasses(100).map((caller) => ({
          ...caller,
          abandoned: 0.8,
        })),
        server: { ...quickWarmUp, serviceMilliseconds: 150, letGoMilliseconds },
        countFromMilliseconds: changeAtMilliseconds,
      },
    })),
  },
  {
    name: "cold start",
    variants: [
      { name: "ramp", policy: {} },
      { name: "no ramp", policy: { coldStartRamp: false } },
    ],
    scenarios: [
      {
        name: "start, says cold",
        options: { ...defaultOptions, server: slowWarmUp },
      },
      {
        name: "start, says ready",
        options: {
          ...defaultOptions,
          server: { ...slowWarmUp, ...reportsReady },
        },
      },
      {
        name: "start, says cold for good",
        options: {
          ...defaultOptions,
          server: { ...slowWarmUp, ...reportsCold },
        },
      },
      {
        name: "start, sheds but never falls over",
        options: {
          ...defaultOptions,
          server: { ...slowWarmUp, ...reportsReady, ...neverCrashes },
        },
      },
      {
        name: "relapse, says ready",
        options: {
          ...defaultOptions,
          server: { ...slowWarmUp, ...reportsReady },
          events: relapseEvents,
          countFromMilliseconds: changeAtMilliseconds,
        },
      },
    ],
  },
  {
    name: "zone returns",
    variants: [
      { name: "ramp", policy: {} },
      { name: "no ramp", policy: { coldStartOnReturn: false } },
    ],
    scenarios: [
      {
        name: "cold, says so",
        server: slowWarmUp,
        events: zoneReturnsColdEvents,
      },
      {
        name: "cold, says ready",
        server: { ...slowWarmUp, ...reportsReady },
        events: zoneReturnsColdEvents,
      },
      {
        name: "cold, says ready, 100 calls at once, falls over at 8 sheds",
        server: { ...slowWarmUp, ...reportsReady, fallSheds: 8 },
        events: zoneReturnsColdEvents,
        burst: { atMilliseconds: returnAtMilliseconds, calls: 100 },
      },
      {
        name: "stayed warm",
        server: { ...slowWarmUp, ...reportsReady },
        events: zoneReturnsWarmEvents,
      },
    ].map(({ name, ...rest }) => ({
      name,
      options: {
        ...defaultOptions,
        ...rest,
        countFromMilliseconds: returnAtMilliseconds,
      },
    })),
  },
  {
    name: "limit controller",
    variants: [
      { name: "fixed", policy: { limitController: LimitController.Fixed } },
      {
        name: "additive increase",
        policy: { limitController: LimitController.AdditiveIncrease },
      },
      {
        name: "step back",
        policy: { limitController: LimitController.StepBack },
      },
    ],
    scenarios: [
      { name: "steady", options: { ...defaultOptions, server: quickWarmUp } },
      {
        name: "slower above 8 of 12 slots",
        options: {
          ...defaultOptions,
          server: { ...quickWarmUp, kneeSlots: 8 },
        },
      },
      {
        name: "loses throughput above 6 of 12 slots",
        options: {
          ...defaultOptions,
          server: { ...quickWarmUp, kneeSlots: 6, crowdingPower: 2 },
        },
      },
      {
        name: "bears 6 of 12 slots for 10 s",
        options: {
          ...defaultOptions,
          server: { ...quickWarmUp, ...neverCrashes },
          events: halvedSlotsEvents,
        },
      },
      {
        name: "bears 9 of 12 slots throughout",
        options: {
          ...defaultOptions,
          server: { ...quickWarmUp, ...neverCrashes, slots: 9 },
        },
      },
    ].map(({ name, options }) => ({
      name,
      options: { ...options, countFromMilliseconds: changeAtMilliseconds },
    })),
  },
];
