/** The interval at which a node sends interim responses for a call whose answer has not begun. */
export const interimResponseIntervalMilliseconds = 150;
