const spellEveryMilliseconds = 4_000;
const spellMilliseconds = 600;
const spellFactor = 3;
/** Moves the spells of neighbours apart. */
const spellStepMilliseconds = 1_117;

/** Returns how many times as long as usual a call takes that starts at `now`, by the spells of slowness of the backend server. */
export function getServiceFactor(index: number, now: number): number {
  const phase = (now + index * spellStepMilliseconds) % spellEveryMilliseconds;
  return phase < spellMilliseconds ? spellFactor : 1;
}
