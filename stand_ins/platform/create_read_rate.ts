import type { ReadRate } from "./read_rate.ts";

const millisecondsPerSecond = 1000;

/** Creates a counter of reads per second that starts at zero. */
export function createReadRate(): ReadRate {
  let second = 0;
  let reads = 0;
  let peak = 0;
  return {
    count(now) {
      const current = Math.floor(now / millisecondsPerSecond);
      reads = current === second ? reads + 1 : 1;
      second = current;
      peak = Math.max(peak, reads);
      return reads;
    },
    getPeak: () => peak,
  };
}
