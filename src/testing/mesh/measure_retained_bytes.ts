import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const microsecondsPerMillisecond = 1_000;
const sampleIntervalMilliseconds = 100;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/**
 * Runs an action and resolves with its result and with the highest growth of
 * the memory meanwhile, in bytes: of what a garbage collection leaves, and of
 * the process. The processor time shows whether a process that took long had
 * been waiting for a processor.
 */
export async function measureRetainedBytes<Value>(
  action: () => Promise<Value>,
): Promise<
  {
    readonly value: Value;
    readonly retainedBytes: number;
    readonly residentBytes: number;
    readonly processorMilliseconds: number;
  }
> {
  const before = takeSample();
  const processorBefore = process.cpuUsage();
  const growths: { readonly retained: number; readonly resident: number }[] =
    [];
  const interval = setInterval(() => {
    const { retained, resident } = takeSample();
    growths.push({
      retained: retained - before.retained,
      resident: resident - before.resident,
    });
  }, sampleIntervalMilliseconds);
  try {
    const value = await action();
    const { user, system } = process.cpuUsage(processorBefore);
    return {
      value,
      retainedBytes: Math.max(0, ...growths.map(({ retained }) => retained)),
      residentBytes: Math.max(0, ...growths.map(({ resident }) => resident)),
      processorMilliseconds: (user + system) / microsecondsPerMillisecond,
    };
  } finally {
    clearInterval(interval);
  }
}

function takeSample() {
  const resident = process.memoryUsage.rss();
  // The buffers that the first collection found unused are freed by the second.
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return { retained: heapUsed + external, resident };
}
