/** Answers one control method; parameters come unchecked from the network. */
export type ControlHandler = (
  method: string,
  parameters: unknown,
) => Promise<unknown>;
