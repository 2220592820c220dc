/** The model of choices among backend servers. Times are in milliseconds. */
export const choiceModelSettings = {
  servers: 60,
  slots: 8,
  speedMinimum: 0.5,
  speedMaximum: 1.7,
  /** Mean time of a call at a backend server of speed 1. */
  usualMilliseconds: 40,
  /** Share of all capacity that calls use, spells of slowness aside. */
  loadShare: 0.65,
  goalMilliseconds: 150,
  durationMilliseconds: 6_000,
  /** Calls that arrive earlier do not count. */
  warmUpMilliseconds: 1_500,
  /** Age of a report when it reaches a node; the next one comes after `reportGroups` times that. */
  reportAgeMilliseconds: 50,
  reportGroups: 7,
  /** A gate refuses a call that would wait for longer. */
  waitMillisecondsMaximum: 18,
  /** Time until the offer that follows a refusal. */
  offerMilliseconds: 1,
  refusalsMaximum: 6,
  route: "catalogo",
} as const;
