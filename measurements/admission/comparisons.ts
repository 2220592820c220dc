import { LimitController } from "../../src/admission/limit_controller.ts";
import { QueueOrder } from "../../src/admission/queue_order.ts";
import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import { CallPriority } from "../../src/configuration/call_priority.ts";
import { ZoneState } from "../../src/configuration/zone_state.ts";
import type { CallerClass } from "./caller_class.ts";
import type { Comparison } from "./comparison.ts";
import { registered } from "./registered.ts";
import type { RunOptions } from "./run_options.ts";

const changeAt = 15_000;
const returnAt = 25_000;
const runMilliseconds = 45_000;
/** A server that has got warm by its tenth call. */
const warmSoon = { warmingCalls: 1 };
/** A server that bears one call more after 30 answers and starts at a third of its speed. */
const warmSlowly = { warmingCalls: 30, coldSlowdown: 3 };
const neverFalls = { fallSheds: Number.POSITIVE_INFINITY };

/** The callers of one backend server; 300 calls a second are what it bears when warm. */
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

const usual = {
  runMilliseconds,
  classes: createClasses(260),
  events: [],
};
const relapse: RunOptions["events"] = [
  { atMilliseconds: changeAt, run: ({ server }) => server.returnToColdStart() },
];
const halfOfTheSlots: RunOptions["events"] = [
  { atMilliseconds: changeAt, run: ({ server }) => server.setSlots(6) },
  { atMilliseconds: returnAt, run: ({ server }) => server.setSlots(12) },
];
const zoneLeavesAndReturnsWarm: RunOptions["events"] = [
  {
    atMilliseconds: changeAt,
    run: ({ runtime }) =>
      runtime.applySnapshot(
        createTestSnapshot({ ...registered, zoneState: ZoneState.TakenOut }),
      ),
  },
  {
    atMilliseconds: returnAt,
    run: ({ runtime }) => runtime.applySnapshot(createTestSnapshot(registered)),
  },
];
const zoneLeavesAndReturns: RunOptions["events"] = [
  ...zoneLeavesAndReturnsWarm,
  ...relapse,
];
const saysReady = { report: () => "ready" as const };
const saysCold = { report: () => "cold" as const };

/** Every comparison of the admission with a baseline. */
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
        ...usual,
        classes: createClasses(300 * factor),
        server: warmSoon,
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
        ...usual,
        classes: createClasses(100).map((caller) => ({
          ...caller,
          abandoned: 0.8,
        })),
        server: { ...warmSoon, serviceMilliseconds: 150, letGoMilliseconds },
        countFromMilliseconds: changeAt,
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
      { name: "start, says cold", options: { ...usual, server: warmSlowly } },
      {
        name: "start, says ready",
        options: { ...usual, server: { ...warmSlowly, ...saysReady } },
      },
      {
        name: "start, says cold for good",
        options: { ...usual, server: { ...warmSlowly, ...saysCold } },
      },
      {
        name: "start, sheds but never falls over",
        options: {
          ...usual,
          server: { ...warmSlowly, ...saysReady, ...neverFalls },
        },
      },
      {
        name: "relapse, says ready",
        options: {
          ...usual,
          server: { ...warmSlowly, ...saysReady },
          events: relapse,
          countFromMilliseconds: changeAt,
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
        server: warmSlowly,
        events: zoneLeavesAndReturns,
      },
      {
        name: "cold, says ready",
        server: { ...warmSlowly, ...saysReady },
        events: zoneLeavesAndReturns,
      },
      {
        name: "cold, says ready, 100 calls at once, falls over at 8 sheds",
        server: { ...warmSlowly, ...saysReady, fallSheds: 8 },
        events: zoneLeavesAndReturns,
        burst: { atMilliseconds: returnAt, calls: 100 },
      },
      {
        name: "stayed warm",
        server: { ...warmSlowly, ...saysReady },
        events: zoneLeavesAndReturnsWarm,
      },
    ].map(({ name, ...rest }) => ({
      name,
      options: {
        ...usual,
        ...rest,
        countFromMilliseconds: returnAt,
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
      { name: "steady", options: { ...usual, server: warmSoon } },
      {
        name: "slower above 8 of 12 slots",
        options: { ...usual, server: { ...warmSoon, kneeSlots: 8 } },
      },
      {
        name: "loses throughput above 6 of 12 slots",
        options: {
          ...usual,
          server: { ...warmSoon, kneeSlots: 6, crowdingPower: 2 },
        },
      },
      {
        name: "bears 6 of 12 slots for 10 s",
        options: {
          ...usual,
          server: { ...warmSoon, ...neverFalls },
          events: halfOfTheSlots,
        },
      },
      {
        name: "bears 9 of 12 slots throughout",
        options: {
          ...usual,
          server: { ...warmSoon, ...neverFalls, slots: 9 },
        },
      },
    ].map(({ name, options }) => ({
      name,
      options: { ...options, countFromMilliseconds: changeAt },
    })),
  },
];
