import * as z from "zod";

/** The parameters of the control method `settleCall`. */
export const settleCallSchema = z.object({
  /** The try whose outcome is asked for. */
  attemptIdentifier: z.string().min(1),
  /** The call's deadline; a fence is kept until then. In milliseconds since the Unix epoch. */
  deadline: z.number(),
});
