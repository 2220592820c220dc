/** Answers the control methods of one node. */
export type ControlHandler = (
  method: string,
  parameters: unknown,
) => Promise<unknown>;
