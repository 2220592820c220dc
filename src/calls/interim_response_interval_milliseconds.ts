/** How often a node shows that it still holds a call whose answer has not begun. */
export const interimResponseIntervalMilliseconds = 150;
