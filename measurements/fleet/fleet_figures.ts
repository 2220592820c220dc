import { summarizeSamples } from "../summarize_samples.ts";
import { getControlBytesPerSecond } from "./get_control_bytes_per_second.ts";
import type { FleetFigure } from "./fleet_figure.ts";

const bytesPerMegabyte = 1_000_000;

/** The figures in the rows of the fleet tables. */
export const fleetFigures: readonly FleetFigure[] = [
  {
    title: "at rest: control bytes a second, sent and received, mean node",
    getValue: ({ atRest }) => getControlBytesPerSecond(atRest),
  },
  {
    title: "at rest: control bytes a second, highest node",
    getValue: ({ atRest }) => atRest.highestBytesPerSecond,
  },
  {
    title: "at rest: control messages sent a second, mean node",
    getValue: ({ atRest }) => atRest.messagesSentPerSecond,
  },
  {
    title: "at rest: control messages received a second, mean node",
    getValue: ({ atRest }) => atRest.messagesReceivedPerSecond,
  },
  {
    title: "at rest: processor time, percent of a core, mean node",
    getValue: ({ atRest }) => atRest.processorShare * 100,
  },
  {
    title: "at rest: processor time, percent of a core, highest node",
    getValue: ({ atRest }) => atRest.highestProcessorShare * 100,
  },
  {
    title: "at rest: resident memory, MB, mean node",
    getValue: ({ atRest }) => atRest.residentBytes / bytesPerMegabyte,
  },
  {
    title: "at rest: resident memory, MB, highest node",
    getValue: ({ atRest }) => atRest.highestResidentBytes / bytesPerMegabyte,
  },
  {
    title: "at rest: reads of the platform a second, whole fleet",
    getValue: ({ atRest }) => atRest.platformReadsPerSecond,
  },
  {
    title: "under call load: control bytes a second, mean node",
    getValue: ({ underLoad }) => getControlBytesPerSecond(underLoad),
  },
  {
    title: "under call load: control bytes a second, highest node",
    getValue: ({ underLoad }) => underLoad.highestBytesPerSecond,
  },
  {
    title: "under call load: reads of the platform a second, whole fleet",
    getValue: ({ underLoad }) => underLoad.platformReadsPerSecond,
  },
  {
    title: "one change: bytes of the whole document",
    getValue: (run) => run.documentBytes,
  },
  {
    title: "one change: bytes sent and received, mean node",
    getValue: (run) => run.bytesPerChange,
  },
  {
    title: "one change: convergence, ms, median node",
    getValue: (run) => summarizeSamples(run.convergence).median,
  },
  {
    title: "one change: convergence, ms, worst node",
    getValue: (run) => summarizeSamples(run.convergence).maximum,
  },
  {
    title: "storm: bytes sent and received by a restarted node",
    getValue: ({ storm }) => storm.bytesPerNode,
  },
  {
    title: "storm: messages sent by a restarted node",
    getValue: ({ storm }) => storm.messagesPerNode,
  },
  {
    title: "storm: reads of the platform by the fleet",
    getValue: ({ storm }) => storm.platformReads,
  },
  {
    title: "storm or start: reads of the platform in the highest second",
    getValue: ({ storm }) => storm.peakReadsPerSecond,
  },
  {
    title: "storm: until the last restarted node had a version, ms",
    getValue: ({ storm }) => storm.recoveryMilliseconds,
  },
];
