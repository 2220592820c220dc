import type { LoopLag } from "./loop_lag.ts";

/** Notes a look that was due after a span: what came while it was late is handled after it. */
export function noteLoopLook(
  lag: LoopLag,
  options: { readonly spanMilliseconds: number; readonly now: number },
): void {
  const { spanMilliseconds, now } = options;
  const late = Math.max(0, now - lag.lookedAt - spanMilliseconds);
  lag.behindUntil = Math.max(lag.behindUntil, now + late);
  lag.lookedAt = now;
}
