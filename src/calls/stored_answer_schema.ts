import * as z from "zod";

/** Schema of a stored answer in control messages, with the body in Base64. */
export const storedAnswerSchema = z.object({
  status: z.number().int().min(200).max(599),
  headers: z.array(z.string()),
  declaredLength: z.number().int().min(0).optional(),
  body: z.string(),
});
