import { summarizeSamples } from "../summarize_samples.ts";
import { getControlBytes } from "./get_control_bytes.ts";
import type { FleetFigure } from "./fleet_figure.ts";

const bytesPerMegabyte = 1_000_000;

/** The rows of the tables of fleets. */
export const fleetFigures: readonly FleetFigure[] = [
  {
    title: "at rest: control bytes a second, sent and received, mean node",
    read: ({ atRest }) => getControlBytes(atRest),
  },
  {
    title: "at rest: control bytes a second, highest node",
    read: ({ atRest }) => atRest.highestBytesPerSecond,
  },
  {
    title: "at rest: control messages sent a second, mean node",
    read: ({ atRest }) => atRest.messagesSentPerSecond,
  },
  {
    title: "at rest: control messages received a second, mean node",
    read: ({ atRest }) => atRest.messagesReceivedPerSecond,
  },
  {
    title: "at rest: processor time, percent of a core, mean node",
    read: ({ atRest }) => atRest.processorShare * 100,
  },
  {
    title: "at rest: processor time, percent of a core, highest node",
    read: ({ atRest }) => atRest.highestProcessorShare * 100,
  },
  {
    title: "at rest: resident memory, MB, mean node",
    read: ({ atRest }) => atRest.residentBytes / bytesPerMegabyte,
  },
  {
    title: "at rest: resident memory, MB, highest node",
    read: ({ atRest }) => atRest.highestResidentBytes / bytesPerMegabyte,
  },
  {
    title: "at rest: reads of the platform a second, whole fleet",
    read: ({ atRest }) => atRest.platformReadsPerSecond,
  },
  {
    title: "under call load: control bytes a second, mean node",
    read: ({ underLoad }) => getControlBytes(underLoad),
  },
  {
    title: "under call load: control bytes a second, highest node",
    read: ({ underLoad }) => underLoad.highestBytesPerSecond,
  },
  {
    title: "under call load: reads of the platform a second, whole fleet",
    read: ({ underLoad }) => underLoad.platformReadsPerSecond,
  },
  {
    title: "one change: bytes of the whole document",
    read: (run) => run.documentBytes,
  },
  {
    title: "one change: bytes sent and received, mean node",
    read: (run) => run.bytesPerChange,
  },
  {
    title: "one change: convergence, ms, median node",
    read: (run) => summarizeSamples(run.convergence).median,
  },
  {
    title: "one change: convergence, ms, worst node",
    read: (run) => summarizeSamples(run.convergence).maximum,
  },
  {
    title: "storm: bytes sent and received by a restarted node",
    read: ({ storm }) => storm.bytesPerNode,
  },
  {
    title: "storm: messages sent by a restarted node",
    read: ({ storm }) => storm.messagesPerNode,
  },
  {
    title: "storm: reads of the platform by the fleet",
    read: ({ storm }) => storm.platformReads,
  },
  {
    title: "storm or start: reads of the platform in the highest second",
    read: ({ storm }) => storm.peakReadsPerSecond,
  },
  {
    title: "storm: until the last restarted node had a version, ms",
    read: ({ storm }) => storm.recoveryMilliseconds,
  },
];
