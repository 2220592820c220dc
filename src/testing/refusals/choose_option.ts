/** Chooses one of `options` continuations; returns its index. */
export type ChooseOption = (options: number) => number;
