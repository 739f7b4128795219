# Keys of the tutorial. They are public: use them nowhere else.
RIVERSIDE_KEY=gtk_k6529447782_TeXDiACmCntKndrt6G-JpiamZcTNcobRkZ5y4HiQG9E
VISITOR_KEY=gtk_k13b8e39e8f_hS-QNCoGGtNywqCelzPkL16kao69SsPN6n3_BM2VXH4
